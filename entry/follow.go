package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/catalog"
	"lovagespread.example/platform"
)

// Pace of reading the configuration stream.
const (
	followWait  = 5 * time.Second
	followRetry = 500 * time.Millisecond
	followLimit = 100
)

// follow puts each readable record of the configuration stream in force.
func (e *Entry) follow(ctx context.Context) {
	next := int64(0)
	for ctx.Err() == nil {
		page, err := e.platform.Read(ctx, platform.StreamConfiguration, next, followLimit, followWait)
		if err != nil {
			e.log.Warn("the configuration stream cannot be read", zap.Error(err))
			pause(ctx, followRetry)
			continue
		}
		for _, record := range page.Records {
			next = record.Offset + 1
			e.adopt(record.Offset, record.Data)
		}
	}
}

func (e *Entry) adopt(offset int64, data []byte) {
	parsed, err := catalog.ParseServices("configuration", data)
	if err != nil {
		e.log.Error("a configuration record cannot be read and is skipped", zap.Int64("offset", offset), zap.Error(err))
		return
	}
	parsed.Version = uint64(offset) + 1
	e.engine.loop.SetCatalog(parsed)
	e.log.Info("configuration in force", zap.Uint64("version", parsed.Version))
}

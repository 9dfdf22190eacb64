package deployment

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice"
)

// firstChangeID is the ID of the change that publishes the services file.
const firstChangeID = "lovage-standin-first"

// PublishServices appends the services file to the log of the platform as the
// first version of the configuration.
func (d *Deployment) PublishServices(ctx context.Context) error {
	record, err := change.EncodeChange(change.Change{
		ID:     firstChangeID,
		Author: "lovage-standin",
		Time:   time.Now(),
		Body:   &change.ReplaceServices{Services: d.Services.Services, Teams: d.Services.Teams},
	})
	if err != nil {
		return errors.Wrap(err, "encode the services file")
	}
	client, err := logservice.NewClient(logservice.Options{URL: "http://" + d.addresses.Platform})
	if err != nil {
		return err
	}
	if _, err := client.Append(ctx, logservice.StreamConfiguration, [][]byte{record}); err != nil {
		return errors.Wrap(err, "publish the services file")
	}
	return nil
}

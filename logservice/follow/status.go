package follow

import (
	"context"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/change"
)

// Status is the state of a follower at one point in time.
type Status struct {
	Catalog    *catalog.Catalog // newest known version; version 0: none
	Digest     []byte           // digest of Catalog
	LogVersion uint64           // version that follows from the log alone
	Next       int64            // offset of the next record
	Complete   bool             // no record is missing, and the format in use is known
	Outdated   bool             // the format in use requires a newer program
	Counts     change.Counts
	Err        error // error of the last read; nil if it succeeded
}

// Reason says why no configuration is known yet and what to do about it. It
// returns an empty string if one is known.
func (s Status) Reason() string {
	switch {
	case s.Catalog.Version > 0:
		return ""
	case s.Err != nil:
		return "no configuration yet: neither the log nor another entry could be reached: restore one of them"
	case !s.Complete:
		return "no configuration yet: the log no longer retains it: start the entry while another entry has it, or publish a snapshot with lovagectl restore"
	}
	return "no configuration yet: publish one with lovagectl publish"
}

// Status returns the latest status. It does not block.
func (f *Follower) Status() Status { return *f.status.Load() }

func (f *Follower) storeStatus(err error) {
	c := f.replica.Catalog()
	status := &Status{
		Catalog:    c,
		LogVersion: f.replica.LogVersion(),
		Next:       f.replica.Next(),
		Complete:   f.replica.Complete(),
		Outdated:   f.replica.Outdated(),
		Counts:     f.replica.Counts(),
		Err:        err,
	}
	if old := f.status.Load(); old != nil && old.Catalog == c {
		status.Digest = old.Digest
	} else {
		status.Digest = change.Digest(c)
	}
	f.status.Store(status)
}

// Copy returns a copy of the newest version for another entry. It returns false
// if no version is known or the follower has stopped.
func (f *Follower) Copy(ctx context.Context) (newest change.Copy, ok bool) {
	done := f.runOnOwner(ctx, func() { newest, ok = f.replica.Copy() })
	return newest, done && ok
}

// Adopt serves a copy from another entry if it is newer than the served version.
// It reports whether the served version increased. The error is a
// *change.CopyError or the error of the context.
func (f *Follower) Adopt(ctx context.Context, c change.Copy) (newer bool, err error) {
	done := f.runOnOwner(ctx, func() {
		newer, err = f.replica.Adopt(c.Version, c.Digest, c.Body)
		f.notifyWaiters()
		f.storeStatus(f.Status().Err)
	})
	if !done {
		return false, context.Cause(ctx)
	}
	return newer, err
}

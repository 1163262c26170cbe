package gateway

import (
	"context"
	"time"

	"foxhall/internal/origin"
	"foxhall/internal/routing"
)

// Origins knows at which software version of their service streams began.
type Origins interface {
	// Resolve finds out at which version a stream began that a caller takes up again.
	Resolve(ctx context.Context, s origin.Stream) origin.Resolution
	// Began records the version at which a stream begins or goes on. It must not wait for other instances.
	Began(s origin.Stream, version string)
}

// unansweredRetryAfter is the retry delay given to callers whose stream began at a version that other
// instances may know, which don't answer, or at one that a newer view would show: another instance may reach
// them, or the store.
const unansweredRetryAfter = 200 * time.Millisecond

// streamVersion is the software version at which a call's stream must go on.
type streamVersion struct {
	// fixed is set once the version is, which is when the stream began.
	fixed   bool
	version string
	// resolution tells how the version of a stream was found that the caller takes up again.
	resolution origin.Resolution
}

// keepsVersion reports whether the call's stream may go on at another replica, which must run the version
// at which it began.
func (f *inFlightCall) keepsVersion() bool {
	return f.gateway.settings.Origins != nil && f.route.Kind == routing.Stream && f.route.Resumable
}

// stream returns the stream that the call begins or takes up again.
func (f *inFlightCall) stream() origin.Stream {
	s := origin.Stream{Service: f.service.Name, Customer: f.customerName(), Call: f.call.ID, Life: origin.LifeOf(f.route.Timeout)}
	if f.call.ResumeAfter != "" {
		s.Call = f.call.Resumes
	}
	return s
}

// resolveVersion finds out the version of a stream that the caller takes up again. It returns the call's
// result if the stream can't go on.
func (f *inFlightCall) resolveVersion(ctx context.Context) *Result {
	if !f.keepsVersion() || f.call.ResumeAfter == "" {
		return nil
	}
	began := time.Now()
	resolution := f.gateway.settings.Origins.Resolve(ctx, f.stream())
	f.stageTimes.resolving = time.Since(began)
	f.streamVersion = streamVersion{fixed: resolution.Found(), version: resolution.Version, resolution: resolution}
	if resolution.Found() {
		return nil
	}
	result := refused(VersionUnknown, 0)
	if resolution.Source == origin.Unanswered || resolution.Source == origin.Unproven {
		result.RetryAfter = unansweredRetryAfter
	}
	return &result
}

// fixVersion records the version of the replica whose events are about to be forwarded. From then on the
// stream goes on at this version alone.
func (f *inFlightCall) fixVersion(version string, rec *streamRecord) {
	if !f.keepsVersion() || rec.eventCount > 0 {
		return
	}
	if !f.streamVersion.fixed {
		f.streamVersion.fixed, f.streamVersion.version = true, version
	}
	if s := f.stream(); s.Call != "" {
		f.gateway.settings.Origins.Began(s, f.streamVersion.version)
	}
}

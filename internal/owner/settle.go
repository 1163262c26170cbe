package owner

import "context"

// AwaitReports waits until all steps in flight have ended and their outcomes are delivered to the
// programs' present owners, or until ctx ends. An incarnation that was fenced calls it before Close,
// which cancels both.
func (s *Service) AwaitReports(ctx context.Context) error {
	if err := s.flights.close(ctx); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		s.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

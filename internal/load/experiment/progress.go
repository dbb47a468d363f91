package experiment

import (
	"context"
	"fmt"
	"time"
)

// progress writes a status line until ctx is done.
func (r *runner) progress(ctx context.Context) error {
	w := r.options.Progress
	if w == nil {
		return nil
	}
	defer fmt.Fprint(w, "\r\x1b[K")
	for {
		left := max(0, time.Until(r.end))
		state := fmt.Sprintf("%.0f s left", left.Seconds())
		if left == 0 {
			state = "waiting for outstanding responses"
		}
		fmt.Fprintf(w, "\r\x1b[K%s: %s; sent %d, running %d, answered %d, refused %d",
			r.policy, state, r.progressCounts.sent.Load(), r.progressCounts.running.Load(), r.progressCounts.answered.Load(), r.progressCounts.refused.Load())
		if err := sleep(ctx, progressInterval); err != nil {
			return err
		}
	}
}

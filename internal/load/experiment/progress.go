package experiment

import (
	"context"
	"fmt"
	"time"
)

// progress writes a line about the run until ctx ends.
func (r *runner) progress(ctx context.Context) error {
	w := r.o.Progress
	if w == nil {
		return nil
	}
	defer fmt.Fprint(w, "\r\x1b[K")
	for {
		left := max(0, time.Until(r.end))
		state := fmt.Sprintf("%.0f s left", left.Seconds())
		if left == 0 {
			state = "waiting for the last answers"
		}
		fmt.Fprintf(w, "\r\x1b[K%s: %s; sent %d, running %d, answered %d, refused %d",
			r.name, state, r.counts.sent.Load(), r.counts.running.Load(), r.counts.answered.Load(), r.counts.refused.Load())
		if err := sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}

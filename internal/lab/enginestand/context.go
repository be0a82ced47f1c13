package enginestand

import (
	"context"
	"time"
)

func contextFor(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}

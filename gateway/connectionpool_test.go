package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// Guards against keeping a connection after a network partition that dropped packets silently, and against closing one
// whose peer answers.
func TestUnansweredConnectionIsReplaced(t *testing.T) {
	silent := status.Error(codes.DeadlineExceeded, "no answer")
	tests := []struct {
		name     string
		results  []error
		replaced bool
	}{
		{"peer silent", []error{silent, silent}, true},
		{"peer answers in between", []error{silent, nil, silent}, false},
		{"peer refuses", []error{silent, status.Error(codes.ResourceExhausted, "budget"), silent}, false},
		{"one failure after an answer", []error{nil, silent}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newConnectionPool(func(_, address string) (*grpc.ClientConn, error) {
					return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
				})
				defer c.close()
				first, err := c.get("gw-2", "192.0.2.1:1")
				if err != nil {
					t.Fatal(err)
				}
				for _, err := range tt.results {
					time.Sleep(unansweredTimeout/2 + time.Millisecond)
					c.recordResult(first, err)
				}
				second, err := c.get("gw-2", "192.0.2.1:1")
				if err != nil {
					t.Fatal(err)
				}
				if replaced := second != first; replaced != tt.replaced {
					t.Errorf("connection replaced: %v, want %v", replaced, tt.replaced)
				}
			})
		})
	}
}

package control

import (
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"heatherwall.example/controlstate"
)

// Guards against clients that retry, until their deadline, a request for a revision that no replica keeps.
func TestReadErrorStatusDistinguishesFinalErrors(t *testing.T) {
	tests := []struct {
		err  error
		code codes.Code
	}{
		{nil, codes.OK},
		{&controlstate.RevisionError{Revision: 99, Newest: 3}, codes.OutOfRange},
		{&StaleError{Group: configurationGroup}, codes.Unavailable},
	}
	for _, tt := range tests {
		if got := status.Code(readErrorStatus(tt.err)); got != tt.code {
			t.Errorf("%v: code %v, want %v", tt.err, got, tt.code)
		}
	}
}

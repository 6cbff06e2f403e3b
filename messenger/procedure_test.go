package messenger

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMessageBounds guards against one message that takes a process down by its size, also when it is compressed.
func TestMessageBounds(t *testing.T) {
	type text struct{ Text string }
	procedure, stream := Procedure[text, text]{path: "/test/Echo"}, Stream[text, text]{path: "/test/Stream"}
	mux := http.NewServeMux()
	procedure.Handle(mux, func(_ context.Context, req *text) (*text, error) {
		if req.Text == "large" {
			return &text{Text: strings.Repeat("x", maxMessageBytes+1)}, nil
		}
		return req, nil
	})
	stream.Handle(mux, func(_ context.Context, _ *text, send func(*text) error) error {
		return send(&text{Text: strings.Repeat("x", maxMessageBytes+1)})
	})
	server := httptest.NewUnstartedServer(mux)
	server.Config = NewServer(mux, nil)
	server.Start()
	defer server.Close()
	client := NewClient(nil)
	defer client.CloseIdleConnections()
	_, err := procedure.Call(t.Context(), client, server.URL, &text{Text: strings.Repeat("x", maxMessageBytes+1)})
	require.Error(t, err, "request")
	_, err = procedure.Call(t.Context(), client, server.URL, &text{Text: "large"})
	require.Error(t, err, "response, which the server compresses")
	err = stream.Call(t.Context(), client, server.URL, &text{}, func(*text) error { return nil })
	require.Error(t, err, "message of a stream")
	res, err := procedure.Call(t.Context(), client, server.URL, &text{Text: "small"})
	require.NoError(t, err)
	require.Equal(t, "small", res.Text)
}

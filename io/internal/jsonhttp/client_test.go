package jsonhttp

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestOversizedResponse reads a valid response that is one byte too long; the error must say so.
func TestOversizedResponse(t *testing.T) {
	is := is.New(t)
	text := `"` + strings.Repeat("x", maxResponseBytes-1) + `"`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(text))
	}))
	defer server.Close()
	client := New(Config{Caller: "a"})
	defer client.Close()
	var out string
	err := client.Call(t.Context(), "test", server.URL, struct{}{}, &out)
	is.True(errors.Is(err, cyclamendyke.KindUnknown))
	is.True(strings.Contains(err.Error(), "larger than 67108864 bytes"))

	text = `"` + text[2:]
	is.NoErr(client.Call(t.Context(), "test", server.URL, struct{}{}, &out)) // A response of exactly the limit.
	is.Equal(len(out), maxResponseBytes-2)
}

package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"

	"quaydock/pkg/ingress"
	"quaydock/pkg/routing"
)

// TestRoutesGoByThePathAsSent guards against a request that goes by a prefix which only its decoded path begins with. The engine
// gets the path as it was sent.
func TestRoutesGoByThePathAsSent(t *testing.T) {
	const outer, inner, none = http.StatusUnauthorized, http.StatusOK, http.StatusNotFound
	scenarios := []struct {
		path string
		want int // status without a key, which only the inner route serves
	}{
		{"/v2/library/nginx", inner},
		{"/v2/library/a%20b?c=%2F&d=/", inner},
		{"/v2/library/%2e%2E/x", inner},
		{"/v2/library/../x", inner},
		{"/v2/library%2Fnginx", outer},
		{"/v2/library%2fnginx/2f", outer},
		{"/v2//library/x", outer},
		{"/v2/./library/x", outer},
		{"/v2/li%62rary/x", outer},
		{"/v2/Library/x", outer},
		{"/v2/library", outer},
		{"/v2/library?/", outer},
		{"/v2%2Flibrary/x", none},
		{"/%76%32/library/x", none},
		{"//v2/library/x", none},
	}
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, nil, func(c net.Conn, r *http.Request) bool {
			return replies(http.StatusOK, "", r.RequestURI)(c, r)
		})
		for _, r := range []*routing.Route{
			{Name: "outer", Host: "h", Prefix: "/v2/", Kind: routing.Safe, Timeout: 5000, Objective: 500, Attempts: 1},
			{Name: "inner", Host: "h", Prefix: "/v2/library/", Kind: routing.Safe, Timeout: 5000, Objective: 500, Attempts: 1, Anonymous: true},
		} {
			r.Split = []routing.WeightedService{{Service: "s", Weight: 1}}
			b.routes = append(b.routes, r)
		}
		b.configure(2)
		for _, s := range scenarios {
			if status, _ := b.callAsSent(s.path, ""); status != s.want {
				t.Errorf("%s: status %d, want %d", s.path, status, s.want)
			}
			if s.want == none {
				continue
			}
			if _, got := b.callAsSent(s.path, "key"); got != s.path {
				t.Errorf("%s: the engine got %s", s.path, got)
			}
		}
	})
}

// callAsSent makes a request whose path no library has changed, and returns the answer.
func (b *testbed) callAsSent(path, key string) (status int, body string) {
	c, err := b.network.Dial(b.t.Context(), entryAt)
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: %s\r\n\r\n", path, key)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		b.t.Fatalf("%s: %v", path, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}

// FuzzSentPath checks that routes go by the path that the engine sees: a part of the request target as it was sent, and
// the same path once it is unescaped.
func FuzzSentPath(f *testing.F) {
	for _, target := range []string{"/", "/v2/library%2Fnginx", "/v2//a/../b?c=/d", "/%76%32/%2e%2E", "http://h/a%2Fb?c", "http://h", "/a%", "/a^b[]", "http://h/a^b", "*", "h:80"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			return // the server refuses it before it reaches this package
		}
		path := ingress.SentPath(r)
		if !strings.Contains(r.RequestURI, path) {
			t.Errorf("the target %q is routed by %q, which was not sent", r.RequestURI, path)
		}
		if seen, err := url.PathUnescape(path); err != nil || seen != r.URL.Path {
			t.Errorf("the target %q is routed by %q, and the engine sees %q", r.RequestURI, path, r.URL.Path)
		}
	})
}

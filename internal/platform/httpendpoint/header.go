package httpendpoint

import (
	"net/http"
	"strings"
)

// multiValueSeparator joins the values of a Set-Cookie header, which can't be
// joined with commas. No header value contains it.
const multiValueSeparator = "\n"

// hopByHop are the headers that belong to one connection or that frame a
// message; they are not passed on in either direction.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length",
}

// dropHopByHop removes from h the headers of one connection, including those
// that its Connection header names.
func dropHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// flatten turns the headers of an answer into one value for each name.
func flatten(h http.Header) map[string]string {
	if len(h) == 0 {
		return nil
	}
	flat := make(map[string]string, len(h))
	for name, values := range h {
		if name == "Set-Cookie" {
			flat[name] = strings.Join(values, multiValueSeparator)
			continue
		}
		flat[name] = strings.Join(values, ", ")
	}
	return flat
}

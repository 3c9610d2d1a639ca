package httpendpoint

import (
	"net/http"
	"strings"
)

// multiValueSeparator separates the values of a Set-Cookie header, which can't be
// joined with commas. No header value contains the separator.
const multiValueSeparator = "\n"

// hopByHop lists the headers that concern a single connection or the framing of a
// message. They are not forwarded in either direction.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length",
}

// dropHopByHop removes the hop-by-hop headers from h, including those that are listed
// in its Connection header.
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

// flatten joins the values of each header of an answer into one value.
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

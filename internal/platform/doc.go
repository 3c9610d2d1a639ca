// Package platform defines the interfaces to the systems outside skylarklock: the
// platform's logs, its VM list, workers, executors and endpoints. Code that makes
// decisions depends only on these types. Everything specific to a wire protocol
// is in the adapters that implement them.
package platform

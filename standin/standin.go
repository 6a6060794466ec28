// Package standin provides stand-ins for external systems in tests and the demo.
package standin

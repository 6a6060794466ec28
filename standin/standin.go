// Package standin takes the place of outside systems in tests and the demo.
package standin

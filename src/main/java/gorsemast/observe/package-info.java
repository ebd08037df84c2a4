/** What the proxy did, for those who watch it; read only, never on a request's way. */
package gorsemast.observe;

/** A small HTTP client and server based on Grizzly; the client never sends a request twice. */
package org.boragegap.http;

/** A small HTTP client and server on Grizzly; the client never sends anything twice. */
package org.boragegap.http;

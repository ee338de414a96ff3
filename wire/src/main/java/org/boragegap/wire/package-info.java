/** Framing, MessagePack codecs and transport for messages between the system's own processes. */
package org.boragegap.wire;

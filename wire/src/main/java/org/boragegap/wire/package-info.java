/** Frames and MessagePack codecs between the system's own processes. */
package org.boragegap.wire;

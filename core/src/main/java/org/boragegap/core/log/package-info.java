/** What a reader of the platform's log has read of it without a gap. */
package org.boragegap.core.log;

/** Limits on sending requests again. */
package org.boragegap.core.retry;

/** When a request may be sent again. */
package org.boragegap.core.retry;

/** Bounded queues, quotas and refusals. */
package org.boragegap.core.limit;

/** Queue orders, team quotas and retry delays. */
package org.boragegap.core.limit;

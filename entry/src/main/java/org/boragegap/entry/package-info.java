/**
 * The entry process: HTTP APIs for callers and operators, the control thread, settings and metrics.
 */
package org.boragegap.entry;

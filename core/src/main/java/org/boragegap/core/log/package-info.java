/** Gap-free reading of the platform's log, which keeps records for a limited time. */
package org.boragegap.core.log;

/** Who may start a submission: domain views, claims and their protocol. */
package org.boragegap.core.claim;

/** The dispatcher's events, actions and the state machine that ties the decisions together. */
package org.boragegap.core.dispatch;

/** The dispatcher of an entry VM: a state machine from events to actions. */
package org.boragegap.core.dispatch;

/** Stand-ins for the platform's log, store and VM list, and for workers, minions and targets. */
package org.boragegap.standin;

/** Small stand-ins of what lies outside: the platform's log, the VM list, workers and minions. */
package org.boragegap.standin;

/** The VMs in the platform's list: entry VMs, workers and minions. */
package org.boragegap.core.membership;

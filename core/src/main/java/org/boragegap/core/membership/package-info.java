/** What is believed about VMs, workers and minions. */
package org.boragegap.core.membership;

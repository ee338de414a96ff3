/**
 * An entry process on the users' platform: its callers, its place in the group of entry VMs, and,
 * while it controls a cell, the orders to targets.
 */
package org.boragegap.entry.cell;

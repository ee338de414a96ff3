/**
 * An entry process on the users' platform: its HTTP API for callers, its membership in the group of
 * entry VMs, its messages to the other ones, and, while it controls a cell, its orders to targets.
 */
package org.boragegap.entry.cell;

/** Decision logic without I/O: typed events and a clock value in, typed actions out. */
package org.boragegap.core;

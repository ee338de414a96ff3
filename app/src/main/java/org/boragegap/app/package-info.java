/** The command line of the one binary. */
package org.boragegap.app;

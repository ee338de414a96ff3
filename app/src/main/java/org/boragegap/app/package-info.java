/** The command line of the executable. */
package org.boragegap.app;

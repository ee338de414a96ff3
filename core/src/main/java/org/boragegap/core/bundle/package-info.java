/** Versioned configuration bundles and the chain that accepts them. */
package org.boragegap.core.bundle;

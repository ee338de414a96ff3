/** Versioned configuration bundles and the rules by which one becomes active. */
package org.boragegap.core.bundle;

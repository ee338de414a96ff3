/** Which target a task goes to. */
package org.boragegap.core.placement;

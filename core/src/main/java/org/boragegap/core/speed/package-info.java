/** Speeds of the targets of a cell, and what follows from them for placement and waiting times. */
package org.boragegap.core.speed;

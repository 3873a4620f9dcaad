/**
 * The public types of vanillatrestle: identifiers, contracts, verdicts and exceptions.
 */
package org.vanillatrestle;

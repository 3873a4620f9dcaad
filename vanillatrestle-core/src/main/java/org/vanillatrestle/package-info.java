/**
 * The public types of vanillatrestle: ids, contracts, verdicts and errors.
 */
package org.vanillatrestle;

/**
 * Reading, validation and writing of contracts as JSON.
 */
package org.vanillatrestle.internal.contract;

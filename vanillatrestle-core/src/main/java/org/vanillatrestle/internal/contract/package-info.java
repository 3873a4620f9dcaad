/**
 * Reading, checking and writing of contracts.
 */
package org.vanillatrestle.internal.contract;

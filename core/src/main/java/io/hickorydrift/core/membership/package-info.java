/** Which instances are alive and what they hold. */
package io.hickorydrift.core.membership;

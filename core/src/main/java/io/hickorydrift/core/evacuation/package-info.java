/** Failure domains that the operator has evacuated. */
package io.hickorydrift.core.evacuation;

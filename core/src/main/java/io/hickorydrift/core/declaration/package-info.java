/** Operator-declared configuration: routes, database groups, organisations and their keys. */
package io.hickorydrift.core.declaration;

/** What operators declare: routes, groups, organisations and their keys. */
package io.hickorydrift.core.declaration;

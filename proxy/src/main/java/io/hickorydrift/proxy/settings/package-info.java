/** Settings of one instance and declarations of teams, in INI. */
package io.hickorydrift.proxy.settings;

// Command lovagectl is under construction.
package main

func main() {}
